#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/trial ] && [ -x target/marigoldwood ] || exit 2
exec review/bin/trial -case silent-idle -record review/5/record.txt

#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0 leaves the disruption out. With TROUBLE=bare the clients end
# the handshake with a packet without data, and send the request after it.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/trial2 ] && [ -x target/marigoldwood ] || exit 2
exec review/bin/trial2 -case cut-targets -record review/6/record.txt

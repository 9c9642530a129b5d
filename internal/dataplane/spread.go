package dataplane

import (
	"golang.org/x/net/bpf"
)

// Offsets of fields within headers, in bytes.
const (
	geneveBytes      = 8
	ipv4SourceAt     = 12
	ipv4TargetAt     = 16
	ipv4PortsAt      = 20 // without IP options
	ipv6SourceLowAt  = 20 // last word of the source address
	ipv6TargetLowAt  = 36
	ipv6PortsAt      = 40
	multiplier       = 0x9e3779b1 // 2^32 divided by the golden ratio: spreads neighbouring values
	scratchAddresses = 0
	scratchPorts     = 1
)

// spreadProgram returns a filter that selects one of n sockets by the addresses and ports of the inner packet. Both
// directions of a flow get the same socket, so that one worker has its entry in the cache, whatever ports fabric,
// targets and other balancers send from. A packet that the filter cannot read gets the first socket.
func spreadProgram(n int) ([]bpf.RawInstruction, error) {
	program := []bpf.Instruction{
		bpf.LoadAbsolute{Off: 0, Size: 1}, // length of the Geneve options in words
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: 0x3f},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftLeft, Val: 2},
		bpf.ALUOpConstant{Op: bpf.ALUOpAdd, Val: geneveBytes},
		bpf.TAX{},
		bpf.LoadIndirect{Off: 0, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 4},
	}
	ipv4 := loadFields(ipv4SourceAt, ipv4TargetAt, ipv4PortsAt)
	ipv6 := loadFields(ipv6SourceLowAt, ipv6TargetLowAt, ipv6PortsAt)
	program = append(program, bpf.JumpIf{Cond: bpf.JumpEqual, Val: 6, SkipFalse: uint8(len(ipv6) + 1)})
	program = append(program, ipv6...)
	program = append(program, bpf.Jump{Skip: uint32(len(ipv4))})
	program = append(program, ipv4...)
	program = append(program,
		bpf.LoadScratch{Dst: bpf.RegA, N: scratchPorts}, // source port xor destination port
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 16},
		bpf.TAX{},
		bpf.LoadScratch{Dst: bpf.RegA, N: scratchPorts},
		bpf.ALUOpX{Op: bpf.ALUOpXor},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: 0xffff},
		bpf.ALUOpConstant{Op: bpf.ALUOpMul, Val: multiplier},
		bpf.LoadScratch{Dst: bpf.RegX, N: scratchAddresses},
		bpf.ALUOpX{Op: bpf.ALUOpXor},
		bpf.ALUOpConstant{Op: bpf.ALUOpMul, Val: multiplier},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 16},
		bpf.ALUOpConstant{Op: bpf.ALUOpMod, Val: uint32(n)},
		bpf.RetA{},
	)
	return bpf.Assemble(program)
}

// loadFields stores the xor of two address words and the ports. It leaves the offset of the inner packet in X only until
// the last load from the packet.
func loadFields(source, target, ports uint32) []bpf.Instruction {
	return []bpf.Instruction{
		bpf.LoadIndirect{Off: ports, Size: 4},
		bpf.StoreScratch{Src: bpf.RegA, N: scratchPorts},
		bpf.LoadIndirect{Off: source, Size: 4},
		bpf.StoreScratch{Src: bpf.RegA, N: scratchAddresses},
		bpf.LoadIndirect{Off: target, Size: 4},
		bpf.LoadScratch{Dst: bpf.RegX, N: scratchAddresses},
		bpf.ALUOpX{Op: bpf.ALUOpXor},
		bpf.StoreScratch{Src: bpf.RegA, N: scratchAddresses},
	}
}

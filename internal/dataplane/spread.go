package dataplane

import (
	"golang.org/x/net/bpf"
)

// Offsets of header fields in bytes, and constants of the hash.
const (
	geneveFixedHeaderBytes   = 8
	ipv4SourceOffset         = 12
	ipv4DestinationOffset    = 16
	ipv4PortsOffset          = 20 // without IP options
	ipv6SourceLowOffset      = 20 // last 32 bits of the source address
	ipv6DestinationLowOffset = 36
	ipv6PortsOffset          = 40
	hashMultiplier           = 0x9e3779b1 // 2^32 divided by the golden ratio: spreads neighbouring values
	scratchAddresses         = 0          // scratch memory word for the XOR of the addresses
	scratchPorts             = 1          // scratch memory word for the ports
)

// socketSelector returns a BPF program that selects one of n sockets by a hash of the addresses and ports of the inner
// packet. The hash is the same for both directions of a flow, so that the flow's entry stays in the cache of one worker,
// whatever ports the fabric, targets and other balancers send from. A packet that the program cannot read gets the first
// socket.
func socketSelector(n int) ([]bpf.RawInstruction, error) {
	program := []bpf.Instruction{
		bpf.LoadAbsolute{Off: 0, Size: 1}, // length of the Geneve options in 4-byte words
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: 0x3f},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftLeft, Val: 2},
		bpf.ALUOpConstant{Op: bpf.ALUOpAdd, Val: geneveFixedHeaderBytes},
		bpf.TAX{},
		bpf.LoadIndirect{Off: 0, Size: 1},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 4},
	}
	ipv4 := hashInputs(ipv4SourceOffset, ipv4DestinationOffset, ipv4PortsOffset)
	ipv6 := hashInputs(ipv6SourceLowOffset, ipv6DestinationLowOffset, ipv6PortsOffset)
	program = append(program, bpf.JumpIf{Cond: bpf.JumpEqual, Val: 6, SkipFalse: uint8(len(ipv6) + 1)})
	program = append(program, ipv6...)
	program = append(program, bpf.Jump{Skip: uint32(len(ipv4))})
	program = append(program, ipv4...)
	program = append(program,
		bpf.LoadScratch{Dst: bpf.RegA, N: scratchPorts}, // both ports, XORed below
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 16},
		bpf.TAX{},
		bpf.LoadScratch{Dst: bpf.RegA, N: scratchPorts},
		bpf.ALUOpX{Op: bpf.ALUOpXor},
		bpf.ALUOpConstant{Op: bpf.ALUOpAnd, Val: 0xffff},
		bpf.ALUOpConstant{Op: bpf.ALUOpMul, Val: hashMultiplier},
		bpf.LoadScratch{Dst: bpf.RegX, N: scratchAddresses},
		bpf.ALUOpX{Op: bpf.ALUOpXor},
		bpf.ALUOpConstant{Op: bpf.ALUOpMul, Val: hashMultiplier},
		bpf.ALUOpConstant{Op: bpf.ALUOpShiftRight, Val: 16},
		bpf.ALUOpConstant{Op: bpf.ALUOpMod, Val: uint32(n)},
		bpf.RetA{},
	)
	return bpf.Assemble(program)
}

// hashInputs returns instructions that store the XOR of two address words, and the ports, in scratch memory. They need the
// offset of the inner packet in X, and overwrite X after the last load from the packet.
func hashInputs(source, destination, ports uint32) []bpf.Instruction {
	return []bpf.Instruction{
		bpf.LoadIndirect{Off: ports, Size: 4},
		bpf.StoreScratch{Src: bpf.RegA, N: scratchPorts},
		bpf.LoadIndirect{Off: source, Size: 4},
		bpf.StoreScratch{Src: bpf.RegA, N: scratchAddresses},
		bpf.LoadIndirect{Off: destination, Size: 4},
		bpf.LoadScratch{Dst: bpf.RegX, N: scratchAddresses},
		bpf.ALUOpX{Op: bpf.ALUOpXor},
		bpf.StoreScratch{Src: bpf.RegA, N: scratchAddresses},
	}
}

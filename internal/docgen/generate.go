package main

//go:generate go run . ../../docs

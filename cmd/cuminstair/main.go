// Command cuminstair is not implemented yet.
package main

func main() {}

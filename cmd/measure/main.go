// Command measure is not implemented yet.
package main

func main() {}

// Command quickstart is not implemented yet.
package main

func main() {}

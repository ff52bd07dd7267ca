// Command cuminstaird is not implemented yet.
package main

func main() {}

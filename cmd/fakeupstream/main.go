// Command fakeupstream is not implemented yet.
package main

func main() {}

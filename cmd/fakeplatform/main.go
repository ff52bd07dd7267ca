// Command fakeplatform is not implemented yet.
package main

func main() {}

// Command eelgrasswharf is the layer-4 load balancer: every role and every
// operator tool in one binary.
package main

func main() {}

// Command harness runs a small deployment of the platform's roles as processes on loopback,
// with stand-ins for routers, requesters, targets and the operator that follow the users'
// pages, and checks one rule in one scenario. The exit status is 1 if the rule was broken, 0
// if it held and 2 if the scenario could not run.
//
// The stand-ins speak the published protocol only and share no code with the product.
package main

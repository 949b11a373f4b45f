package scanner_test

import (
	"fmt"

	"godwitramp.example/core/scanner"
)

func ExampleScan() {
	text := "[/kundsetu/services/bookings]\ntimeout = 5s\nfloor = \"50\"\n"
	sections, problems := scanner.Scan("services.ini", []byte(text))
	fmt.Println(sections[0].Name, sections[0].Settings[0].Value)
	for _, problem := range problems {
		fmt.Println(problem)
	}
	// Output:
	// /kundsetu/services/bookings 5s
	// services.ini:3: "floor = \"50\"": the value stands in quotes; allowed: the value without quotes
}

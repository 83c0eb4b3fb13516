package main

import "C" // links to the C library, which the platform requires of every program

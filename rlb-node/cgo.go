package main

import "C" // linked to the C library, as the platform expects of every program

#!/bin/sh
# The stand-ins are Python programs and need no build.
exit 0

#!/bin/sh
# The stand-ins of the second review are Python (review/lib-2/fleet.py and scripts/lib/platform_standin.py): there is
# nothing to build. The programs under test come from the build of the deploy file.
exec python3 -c 'import asyncio, tomllib'

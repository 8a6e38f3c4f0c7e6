// Reports where a process crashed.
#pragma once

namespace bambooquay {

/// Makes a fatal signal write one line and the call stack to standard error
/// before it ends the process as usual. `addr2line -fCe PROGRAM` turns the
/// offsets into functions.
void InstallCrashReport();

}  // namespace bambooquay

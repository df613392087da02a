#ifndef SISKINSTAGE_NET_FLAG_READER_H
#define SISKINSTAGE_NET_FLAG_READER_H

#include "siskinstage/error.h"

#include <string>
#include <vector>

namespace siskinstage {

/// Reads a program's Abseil flags, which must all be strings or booleans: first
/// from environment variables SISKINSTAGE_<NAME>, then from the command line,
/// which overrides them and may spell "--print_settings" as "--print-settings".
/// "--help" prints all flags with their defaults and exits with 0.
/// \param Names  the flags that an environment variable may set.
/// \param Faults receives an error for each unknown flag and each invalid
///               environment variable.
/// \returns the positional arguments, without the program's name.
std::vector<std::string> readFlags(int Argc, char **Argv,
                                   const std::vector<std::string> &Names,
                                   std::vector<Error> &Faults);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_FLAG_READER_H

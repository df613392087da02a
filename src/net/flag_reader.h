#ifndef SISKINSTAGE_NET_FLAG_READER_H
#define SISKINSTAGE_NET_FLAG_READER_H

#include "siskinstage/error.h"

#include <string>
#include <vector>

namespace siskinstage {

/// Reads a program's Abseil flags, which must all be strings or booleans: first
/// the environment variables SISKINSTAGE_<NAME>, then the command line, where
/// "--print-settings" is the same as "--print_settings".
/// "--help" prints all flags with their defaults and ends the program with 0.
/// \param Names  the flags that an environment variable may set.
/// \param Faults receives one entry for each unknown flag.
/// \returns the arguments that are no flags, without the program's name.
std::vector<std::string> readFlags(int Argc, char **Argv,
                                   const std::vector<std::string> &Names,
                                   std::vector<Error> &Faults);

} // namespace siskinstage

#endif // SISKINSTAGE_NET_FLAG_READER_H

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount {

/// A long option (--name) of a program.
struct Option {
    std::string name; ///< without the leading dashes
    std::string argument; ///< placeholder of the value in the help text, empty for a flag
    std::string help; ///< description for --help
};

/// The parsed command line of a program.
struct Arguments {
    std::map<std::string, std::string> options; ///< values by option name, empty for a flag
    std::vector<std::string> words; ///< positional arguments

    bool has(const std::string& name) const { return options.contains(name); }
    /// @return the value of an option, or the fallback if the option was not given
    std::string get(const std::string& name, const std::string& fallback = {}) const;
    /// @return the value of an option as a decimal integer, the fallback if the option was not given, or nothing if the
    ///         value is not an integer
    std::optional<long> number(const std::string& name, long fallback) const;
};

/// Exit codes of the programs.
constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2; ///< invalid arguments or settings
constexpr int ExitConflict = 3; ///< another operator's write was applied first
constexpr int ExitUnknownOutcome = 4; ///< it is unknown whether the write was applied

/// Parses the command line with getopt_long. --help and --version print their text and exit with ExitOk. An invalid
/// option prints an error and exits with ExitUsage.
/// @param usage  help text printed before the list of options
Arguments readArguments(int argc, char** argv, const std::string& usage, const std::vector<Option>&);

} // namespace crocusmount

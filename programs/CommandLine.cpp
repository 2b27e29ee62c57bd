#include "programs/CommandLine.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>

namespace crocusmount {

namespace {

    void printHelp(const std::string& usage, const std::vector<Option>& options)
    {
        std::cout << usage << "\nOptions:\n";
        for (const Option& option : options) {
            std::string synopsis = "  --" + option.name + (option.argument.empty() ? "" : " " + option.argument);
            synopsis.resize(std::max<std::size_t>(synopsis.size() + 1, 30), ' ');
            std::cout << synopsis << option.help << "\n";
        }
        std::cout << "  --help                      print this\n  --version                   print the version\n";
    }

} // namespace

std::string Arguments::get(const std::string& name, const std::string& fallback) const
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

std::optional<long> Arguments::number(const std::string& name, long fallback) const
{
    const auto found = options.find(name);
    if (found == options.end())
        return fallback;
    char* end = nullptr;
    const long value = std::strtol(found->second.c_str(), &end, 10);
    if (found->second.empty() || *end)
        return std::nullopt;
    return value;
}

Arguments readArguments(int argc, char** argv, const std::string& usage, const std::vector<Option>& options)
{
    std::vector<option> table;
    table.reserve(options.size() + 3);
    for (const Option& each : options)
        table.push_back({ each.name.c_str(), each.argument.empty() ? no_argument : required_argument, nullptr, 0 });
    table.push_back({ "help", no_argument, nullptr, 'h' });
    table.push_back({ "version", no_argument, nullptr, 'v' });
    table.push_back({ nullptr, 0, nullptr, 0 });
    Arguments arguments;
    int index = 0;
    for (int found = getopt_long(argc, argv, "", table.data(), &index); found != -1;
         found = getopt_long(argc, argv, "", table.data(), &index)) {
        if (found == 'h') {
            printHelp(usage, options);
            std::exit(ExitOk);
        }
        if (found == 'v') {
            std::cout << CROCUSMOUNT_VERSION << "\n";
            std::exit(ExitOk);
        }
        if (found != 0)
            std::exit(ExitUsage);
        arguments.options[options[static_cast<std::size_t>(index)].name] = optarg ? optarg : "";
    }
    for (int position = optind; position < argc; ++position)
        arguments.words.emplace_back(argv[position]);
    return arguments;
}

} // namespace crocusmount

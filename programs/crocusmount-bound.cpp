// Prints an upper bound on the throughput of a placement, in tokens per second.

#include "planning/FlowBound.h"
#include "programs/CommandLine.h"

#include <cstdio>
#include <iostream>

using namespace crocusmount;

int main(int argc, char** argv)
{
    const Arguments arguments
        = readArguments(argc, argv, "Usage: crocusmount-bound LAYERS BEGIN:END:SLOTS:STEP-US...\n", {});
    std::vector<BackendReport> holdings;
    for (std::size_t i = 1; i < arguments.words.size(); ++i) {
        BackendReport report;
        if (std::sscanf(arguments.words[i].c_str(), "%u:%u:%u:%ld", &report.layers.begin, &report.layers.end,
                &report.slots, &report.stepMicros)
            != 4) {
            std::cerr << "crocusmount-bound: expected BEGIN:END:SLOTS:STEP-US, not " << arguments.words[i] << "\n";
            return ExitUsage;
        }
        holdings.push_back(report);
    }
    if (holdings.empty()) {
        std::cerr << "crocusmount-bound: expected LAYERS and at least one BEGIN:END:SLOTS:STEP-US; see --help\n";
        return ExitUsage;
    }
    const auto layers = static_cast<std::uint32_t>(std::strtoul(arguments.words[0].c_str(), nullptr, 10));
    std::cout << flowBound(layers, holdings) << "\n";
    return ExitOk;
}

// Replays a log written by crocusmountd --record and checks that the reducer produces the recorded effects, byte for
// byte.

#include "core/EventJson.h"
#include "crocusmount/Reducer.h"
#include "programs/CommandLine.h"
#include "shell/Settings.h"

#include <fstream>
#include <iostream>

using namespace crocusmount;

int main(int argc, char** argv)
{
    const Arguments arguments = readArguments(argc, argv,
        "Usage: crocusmount-replay --config FILE LOG\n\nThe settings must be those of the recorded daemon.\n",
        { { "config", "FILE", "settings of the recorded daemon" } });
    const auto settings = readSettings(arguments.get("config"));
    if (!settings.ok() || arguments.words.size() != 1) {
        std::cerr << (settings.ok() ? "crocusmount-replay: expected one log; see --help"
                                    : std::string(settings.status().message()))
                  << "\n";
        return ExitUsage;
    }
    ReducerOptions options = settings->core;
    std::ifstream log(arguments.words.front());
    std::string line;
    const std::string header = "# incarnation ";
    if (!std::getline(log, line) || line.compare(0, header.size(), header) != 0) {
        std::cerr << arguments.words.front() << ": not a log of crocusmountd --record\n";
        return ExitUsage;
    }
    options.self.incarnation = std::stoull(line.substr(header.size()));
    auto reducer = Reducer::make(options);
    Effects effects;
    std::size_t nextEffect = 0;
    std::size_t eventCount = 0;
    std::size_t differentEffects = 0;
    while (std::getline(log, line)) {
        if (line.compare(0, 2, "  ") == 0) {
            const bool isSame = nextEffect < effects.size() && "  " + toJsonLine(effects[nextEffect]) == line;
            differentEffects += isSame ? 0 : 1;
            ++nextEffect;
            continue;
        }
        differentEffects += nextEffect < effects.size() ? effects.size() - nextEffect : 0;
        const auto event = eventFromJsonLine(line);
        if (!event.ok()) {
            // A killed daemon may leave the last line incomplete.
            std::cerr << "event " << eventCount + 1 << ": " << event.status().message() << "\n";
            break;
        }
        effects.clear();
        nextEffect = 0;
        (*reducer)->reduce(*event, effects);
        ++eventCount;
    }
    std::cout << eventCount << " events, " << differentEffects << " effects differ\n";
    return differentEffects ? ExitFailed : ExitOk;
}

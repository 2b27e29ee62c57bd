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
    std::size_t cutEvent = 0; // number of the event inside which the log ends; 0: none
    bool isUnreadable = false;
    while (std::getline(log, line)) {
        // A killed daemon may leave the end of its log incomplete, at any byte.
        const bool isCutLine = log.eof();
        if (line.compare(0, 2, "  ") == 0 || line == " ") {
            const std::string expected = nextEffect < effects.size() ? "  " + toJsonLine(effects[nextEffect]) : "";
            const bool isSame
                = isCutLine ? expected.compare(0, line.size(), line) == 0 : !expected.empty() && expected == line;
            differentEffects += isSame ? 0 : 1;
            ++nextEffect;
            if (isCutLine)
                cutEvent = eventCount;
            continue;
        }
        differentEffects += nextEffect < effects.size() ? effects.size() - nextEffect : 0;
        effects.clear();
        nextEffect = 0;
        if (isCutLine) {
            cutEvent = eventCount + 1;
            break;
        }
        const auto event = eventFromJsonLine(line);
        if (!event.ok()) {
            std::cerr << "event " << eventCount + 1 << ": " << event.status().message() << "\n";
            isUnreadable = true;
            break;
        }
        (*reducer)->reduce(*event, effects);
        ++eventCount;
    }
    if (nextEffect < effects.size())
        cutEvent = eventCount;
    if (cutEvent)
        std::cerr << "the log ends inside event " << cutEvent << "; what is missing was not checked\n";
    std::cout << eventCount << " events, " << differentEffects << " effects differ\n";
    return differentEffects || isUnreadable ? ExitFailed : ExitOk;
}

#include "core/EventJson.h"
#include "shell/Settings.h"
#include "tests/Tests.h"

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

using namespace crocusmount;

namespace {

const std::string SettingsText
    = R"({"instance":"e1","dataCentre":"dc1","listen":"127.0.0.1:1","peerListen":"127.0.0.1:2","store":["127.0.0.1:3"]})";

/// @return the lines of a log, from an instance that learns of another one and of a drain
std::vector<std::string> recordedLines()
{
    const auto settings = parseSettings("settings", SettingsText);
    CHECK_TRUE(settings.ok());
    auto reducer = Reducer::make(settings->core);
    std::vector<std::string> lines { "# incarnation " + std::to_string(settings->core.self.incarnation) };
    MemberUpdate other;
    other.instance = InstanceId("e2");
    other.dataCentre = DataCentreId("dc1");
    other.callerAddress = "127.0.0.2:1";
    other.peerAddress = "127.0.0.2:2";
    std::int64_t seconds = 0;
    for (const EventBody& body :
        { EventBody(event::InstancesListed { { other } }), EventBody(event::Tick {}), EventBody(event::Tick {}) }) {
        const Event event { TimePoint(std::chrono::seconds(++seconds)), 7, body };
        Effects effects;
        (*reducer)->reduce(event, effects);
        lines.push_back(toJsonLine(event));
        for (const Effect& effect : effects)
            lines.push_back("  " + toJsonLine(effect));
    }
    return lines;
}

struct ReplayResult {
    int exitCode = -1;
    std::string output; ///< standard output and error
};

ReplayResult replay(const std::string& log)
{
    const auto folder = std::filesystem::temp_directory_path() / ("replay-" + std::to_string(getpid()));
    std::filesystem::create_directories(folder);
    std::ofstream(folder / "settings") << SettingsText;
    std::ofstream(folder / "log") << log;
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "crocusmount-replay";
    const std::string command
        = program.string() + " --config " + (folder / "settings").string() + " " + (folder / "log").string() + " 2>&1";
    ReplayResult result;
    FILE* pipe = popen(command.c_str(), "r");
    std::array<char, 256> part {};
    while (fgets(part.data(), part.size(), pipe))
        result.output += part.data();
    const int status = pclose(pipe);
    result.exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    std::filesystem::remove_all(folder);
    return result;
}

std::string joined(const std::vector<std::string>& lines)
{
    std::string text;
    for (const std::string& line : lines)
        text += line + "\n";
    return text;
}

bool isReportedAsCut(const ReplayResult& result) { return result.output.find("ends inside") != std::string::npos; }

} // namespace

TEST_GROUP(Replay) {};

TEST(Replay, WholeLogIsReplayedWithoutRemarks)
{
    const ReplayResult result = replay(joined(recordedLines()));
    CHECK_TEXT("3 events, 0 effects differ\n", result.output);
    CHECK_EQUAL(0, result.exitCode);
}

TEST(Replay, UnreadableLineInsideLogIsAFailure)
{
    std::vector<std::string> lines = recordedLines();
    lines.insert(lines.begin() + 1, "{\"now\":1");
    CHECK_EQUAL(1, replay(joined(lines)).exitCode);
}

// A killed daemon leaves the end of its log incomplete, at any byte.
TEST(Replay, CutEndOfLogIsReportedAndIsNoDifference)
{
    std::string log = joined(recordedLines());
    const std::size_t lastLine = log.rfind('\n', log.size() - 2) + 1;
    CHECK_TEXT("  {", log.substr(lastLine, 3)); // The last line is an effect.
    const std::size_t lastEvent = log.rfind("\n{") + 1;
    constexpr std::size_t Step = 13;
    std::vector<std::size_t> sizes { lastLine - 1, lastLine, lastLine + 1, lastLine + 2, lastLine + 3, log.size() - 1 };
    for (std::size_t size = lastEvent + 1; size < log.size(); size += Step)
        sizes.push_back(size);
    for (const std::size_t size : sizes) {
        const ReplayResult result = replay(log.substr(0, size));
        CHECK_TRUE_TEXT(isReportedAsCut(result), result.output.c_str());
        CHECK_EQUAL_TEXT(0, result.exitCode, result.output.c_str());
    }
    log[log.size() - 4] = '#';
    CHECK_EQUAL(1, replay(log).exitCode);
}

#include "shell/Net.h"
#include "tests/Tests.h"
#include "tests/fakes/ScriptedHttpServer.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace crocusmount;

namespace {

/// Runs the program crocusmount against an instance whose answers are scripted.
/// @return the exit code
int runProgram(const std::string& arguments, std::vector<std::string> answers)
{
    net::io_context context(1);
    ScriptedHttpServer server(context, std::move(answers));
    std::thread serving([&] { context.run(); });
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "crocusmount";
    const std::string command
        = program.string() + " --entry " + server.address() + " --token t " + arguments + " >/dev/null 2>&1";
    const int status = std::system(command.c_str());
    context.stop();
    serving.join();
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::string answerWithoutLength(const std::string& body) { return "HTTP/1.1 200 OK\r\n\r\n" + body; }

} // namespace

TEST_GROUP(CommandLine) {};

TEST(CommandLine, CutAnswerIsNoSuccess)
{
    const struct {
        const char* arguments;
        std::string body;
    } cases[] = {
        { "send p prompt", R"({"choices":[{"text":"answer"}]})" },
        { "--output json send p prompt", R"({"choices":[{"text":"answer"}]})" },
        { "--output json entries", R"({"entries":[]})" },
        { "entries", R"({"entries":[]})" },
        { "drain", R"({"draining":true})" },
        { "quarantine", R"({"quarantined":[]})" },
    };
    for (const auto& testCase : cases) {
        CHECK_EQUAL_TEXT(0, runProgram(testCase.arguments, { answerWithoutLength(testCase.body) }), testCase.arguments);
        for (const std::size_t size : { std::size_t(0), testCase.body.size() / 2, testCase.body.size() - 1 }) {
            const std::string cut = testCase.body.substr(0, size);
            CHECK_EQUAL_TEXT(1, runProgram(testCase.arguments, { answerWithoutLength(cut) }), testCase.arguments);
        }
    }
}

// The answer to a write came, but not what it says: the write may have been done.
TEST(CommandLine, CutAnswerLeavesWriteInDoubt)
{
    constexpr int ExitUnknownOutcome = 4;
    const std::string file = std::filesystem::temp_directory_path() / ("objects-" + std::to_string(getpid()) + ".json");
    std::ofstream(file) << R"({"workspaces":[]})";
    const std::string arguments = "apply " + file;
    const std::string current = answerWithoutLength(R"({"revision":1,"objects":[]})");
    const std::string body = R"({"result":"accepted","revision":2})";
    CHECK_EQUAL(0, runProgram(arguments, { current, answerWithoutLength(body) }));
    CHECK_EQUAL(ExitUnknownOutcome, runProgram(arguments, { current, answerWithoutLength(body.substr(0, 10)) }));
    std::filesystem::remove(file);
}

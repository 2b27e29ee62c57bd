// Measures the latency and processor time that an entry instance adds: sends equal streams to a backend server directly
// and through an instance, in turns.

#include "programs/CommandLine.h"
#include "shell/HttpClient.h"
#include "shell/SseParser.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace {

using namespace crocusmount;

/// Results of a number of streams.
struct Sample {
    std::vector<double> durationsUs; ///< time from the request to the end of each stream, in microseconds
    std::uint64_t tokens = 0; ///< events received, without the last one of each stream
    std::uint64_t failed = 0; ///< streams without status 200 or without an end event
};

/// @return user and system time of a process in microseconds, read from /proc
double cpuMicros(long pid)
{
    std::ifstream file(absl::StrCat("/proc/", pid, "/stat"));
    std::stringstream text;
    text << file.rdbuf();
    const std::string content = text.str();
    const std::vector<std::string> fields = absl::StrSplit(content.substr(content.rfind(')') + 2), ' ');
    const double ticks = std::stod(fields.at(11)) + std::stod(fields.at(12));
    return ticks * 1e6 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// @param share  quantile from 0 to 1
/// @return 0 if there are no values
double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

/// Sends a call repeatedly, each time after the previous stream has ended, and adds the results to the sample.
Awaitable<void> sendMany(HttpClient& client, const HttpCall& call, int count, Sample& sample)
{
    for (int i = 0; i < count; ++i) {
        SseParser parser;
        bool ended = false;
        std::uint64_t frames = 0;
        HttpClient::Receive receive = [&](std::string_view bytes) {
            return parser.feed(bytes, [&](std::string_view data) {
                ended = ended || data == "[DONE]" || data.find("\"end\"") != std::string_view::npos;
                ++frames;
                return true;
            });
        };
        HttpCall attempt = call;
        const auto begin = std::chrono::steady_clock::now();
        const HttpAnswer answer
            = co_await client.stream(std::move(attempt), std::chrono::milliseconds(5000), std::move(receive), nullptr);
        sample.durationsUs.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
        sample.tokens += frames ? frames - 1 : 0;
        sample.failed += answer.status == 200 && ended ? 0 : 1;
    }
}

/// Runs concurrent callers until each has sent its calls.
/// @param count  calls of each caller
Sample run(const HttpCall& call, int callers, int count)
{
    net::io_context context(1);
    HttpClient client(context);
    Sample sample;
    for (int i = 0; i < callers; ++i)
        net::co_spawn(context.get_executor(), sendMany(client, call, count, sample), net::detached);
    context.run();
    return sample;
}

/// @return a call that opens a stream on the backend server
HttpCall directCall(const std::string& engine, int tokens)
{
    HttpCall call;
    call.address = engine;
    call.verb = http::verb::post;
    call.target = "/v1/streams";
    call.body = absl::StrCat(R"({"attempt":"bench/1/1","prompt":"p","maxTokens":)", tokens,
        R"(,"emitted":[],"hops":[{"backend":"r1","address":")", engine, R"(","begin":0,"end":1,"generation":1}]})");
    return call;
}

/// @param token  access token of a workspace
/// @param tokens  length of the answer
/// @return a call that requests a completion from the instance
HttpCall entryCall(const std::string& entry, const std::string& token, int tokens)
{
    HttpCall call;
    call.address = entry;
    call.verb = http::verb::post;
    call.target = "/v1/completions";
    call.body = absl::StrCat(R"({"model":"relay","prompt":"p","stream":true,"max_tokens":)", tokens, "}");
    call.headers.emplace_back("Authorization", "Bearer " + token);
    return call;
}

void print(const char* name, const Sample& sample)
{
    std::cout << name << ": streams " << sample.durationsUs.size() << " failed " << sample.failed << " tokens "
              << sample.tokens << " whole us p50 " << percentile(sample.durationsUs, 0.5) << " p99 "
              << percentile(sample.durationsUs, 0.99) << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments
        = readArguments(argc, argv, "Usage: crocusmount-relay --engine A --entry A --token T --pid N\n",
            { { "engine", "IP:PORT", "an engine r1 with one layer" }, { "entry", "IP:PORT", "an instance" },
                { "token", "TOKEN", "of a workspace" }, { "pid", "N", "the instance's process" } });
    const std::string engine = arguments.get("engine");
    const std::string entry = arguments.get("entry");
    const long pid = arguments.number("pid", 0).value_or(0);
    run(entryCall(entry, arguments.get("token"), 1), 1, 200);
    print("direct, 1 token, 1 caller", run(directCall(engine, 1), 1, 2000));
    double before = cpuMicros(pid);
    const Sample single = run(entryCall(entry, arguments.get("token"), 1), 1, 2000);
    print("entry, 1 token, 1 caller", single);
    const double perRequest = (cpuMicros(pid) - before) / static_cast<double>(single.durationsUs.size());
    std::cout << "entry CPU us per request of one token: " << perRequest << "\n";
    for (const int callers : { 1, 8, 32, 128 }) {
        constexpr int tokens = 200;
        const int count = std::max(1, 256 / callers);
        print(absl::StrCat("direct, 200 tokens, ", callers, " callers").c_str(),
            run(directCall(engine, tokens), callers, count));
        before = cpuMicros(pid);
        const Sample sample = run(entryCall(entry, arguments.get("token"), tokens), callers, count);
        const double usedMicros = cpuMicros(pid) - before;
        print(absl::StrCat("entry, 200 tokens, ", callers, " callers").c_str(), sample);
        std::cout << "entry CPU us per token at " << callers << " callers: "
                  << (usedMicros - perRequest * static_cast<double>(sample.durationsUs.size()))
                / static_cast<double>(sample.tokens)
                  << "\n";
    }
    return ExitOk;
}

// Sends load to entry instances and checks the answers.

#include "load/LoadReport.h"
#include "load/LoadRun.h"
#include "programs/CommandLine.h"
#include "shell/Endpoint.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <sys/resource.h>

using namespace crocusmount;

namespace {

/// Opens connections that stay idle.
/// @return the connections, or an error if the address is invalid or a connection fails
absl::StatusOr<std::vector<std::unique_ptr<TcpStream>>> openIdle(
    net::io_context& context, const std::string& address, long count)
{
    const auto endpoint = parseEndpoint<Tcp>(address);
    if (!endpoint.ok())
        return endpoint.status();
    std::vector<std::unique_ptr<TcpStream>> streams;
    for (long i = 0; i < count; ++i) {
        streams.push_back(std::make_unique<TcpStream>(context.get_executor()));
        boost::system::error_code error;
        streams.back()->connect(*endpoint, error);
        if (error)
            return absl::UnavailableError("idle connection " + std::to_string(i) + ": " + error.message());
    }
    return streams;
}

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments = readArguments(argc, argv,
        "Usage: crocusmount-load EXPERIMENT [options]\n\n"
        "Exits with code 1 if an answer was lost, duplicated or wrong.\n",
        { { "out", "FILE", "write the result as JSON" }, { "output", "json|table", "output format (default: table)" },
            { "idle", "N", "idle connections to hold open to the first entry during the run" } });
    if (arguments.words.size() != 1) {
        std::cerr << "crocusmount-load: expected one experiment; see --help\n";
        return ExitUsage;
    }
    std::ifstream file(arguments.words.front());
    std::stringstream text;
    text << file.rdbuf();
    auto experiment = parseExperiment(arguments.words.front(), text.str());
    if (!file || !experiment.ok()) {
        std::cerr << (file ? std::string(experiment.status().message()) : arguments.words.front() + ": cannot be read")
                  << "\n";
        return ExitUsage;
    }
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    net::io_context context(1);
    const auto idle = openIdle(context, experiment->entries.front(), arguments.number("idle", 0).value_or(0));
    if (!idle.ok()) {
        std::cerr << "crocusmount-load: " << idle.status().message() << "\n";
        return ExitFailed;
    }
    LoadRun run(context, *std::move(experiment));
    net::co_spawn(
        context.get_executor(),
        [&]() -> Awaitable<void> {
            co_await run.run();
            context.stop();
        },
        net::detached);
    context.run();
    const LoadReport report = reportOf(run);
    std::cout << (arguments.get("output", "table") == "json" ? report.json + "\n" : report.table);
    if (arguments.has("out"))
        std::ofstream(arguments.get("out")) << report.json << "\n";
    return report.broken ? ExitFailed : ExitOk;
}

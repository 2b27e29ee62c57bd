// Serves stand-ins for the systems around crocusmount: engines, plain services and the platform's services.

#include "programs/CommandLine.h"
#include "shell/HttpClient.h"
#include "shell/HttpServer.h"
#include "standins/EngineStandin.h"
#include "standins/InstanceListStandin.h"
#include "standins/ServiceStandin.h"
#include "standins/StoreStandin.h"
#include "standins/WeightStoreStandin.h"

#include <iostream>

namespace {

using namespace crocusmount;

/// @return the stand-in of this kind, or null if the kind is unknown
std::unique_ptr<HttpHandler> makeHandler(net::io_context& context, const std::string& kind, const Arguments& arguments)
{
    const auto number
        = [&](const char* name, long fallback) { return arguments.number(name, fallback).value_or(fallback); };
    if (kind == "engine") {
        BackendReport report;
        report.backend = BackendId(arguments.get("id"));
        report.model = arguments.get("model", "m");
        report.layers
            = { static_cast<std::uint32_t>(number("begin", 0)), static_cast<std::uint32_t>(number("end", 1)) };
        report.generation = Generation(static_cast<std::uint64_t>(number("generation", 1)));
        report.slots = static_cast<std::uint32_t>(number("slots", 8));
        report.stepMicros = number("step-us", 1000);
        return std::make_unique<EngineStandin>(context, report, !arguments.has("unfenced"));
    }
    if (kind == "service")
        return std::make_unique<ServiceStandin>(context, std::chrono::milliseconds(number("delay-ms", 1)));
    if (kind == "store")
        return std::make_unique<StoreStandin>(context);
    if (kind == "instances")
        return std::make_unique<InstanceListStandin>(std::chrono::milliseconds(number("lag-ms", 0)));
    if (kind == "weights")
        return std::make_unique<WeightStoreStandin>(context, static_cast<double>(number("layers-per-second", 10)));
    return nullptr;
}

/// Sets faults through POST /fault, as tests do. On an error, prints the error, sets the exit code and stops the
/// process.
Awaitable<void> setFaults(net::io_context& context, std::string address, std::string faults, int& exitCode)
{
    HttpClient client(context);
    HttpCall call;
    call.address = std::move(address);
    call.verb = http::verb::post;
    call.target = "/fault";
    call.body = std::move(faults);
    const HttpAnswer answer = co_await client.call(std::move(call));
    if (answer.status == 200)
        co_return;
    std::cerr << "crocusmount-standin: --fault: " << answer.body << answer.error << "\n";
    exitCode = ExitFailed;
    context.stop();
}

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments = readArguments(argc, argv,
        "Usage: crocusmount-standin KIND --listen IP:PORT [options]\n\n"
        "KIND is engine, service, store, instances or weights. Faults are set with POST /fault (docs/testing.md).\n",
        { { "listen", "IP:PORT", "address" }, { "id", "ID", "engine: its id" }, { "model", "NAME", "engine: model" },
            { "begin", "N", "engine: first layer" }, { "end", "N", "engine: layer after the last" },
            { "generation", "N", "engine: generation of the layers held" },
            { "slots", "N", "engine: steps that run concurrently" },
            { "step-us", "N", "engine: duration of a step, in microseconds" },
            { "count", "N", "engine: number of engines; ids ID-0, ID-1, ..., ports from --listen up" },
            { "fault", "JSON", "faults to set at the start, as with POST /fault" },
            { "unfenced", "", "engine: accept orders with old fencing numbers" },
            { "delay-ms", "N", "service: duration of a call, in milliseconds" },
            { "lag-ms", "N", "instances: lag of the list, in milliseconds" },
            { "layers-per-second", "N", "weights: download rate" } });
    if (arguments.words.size() != 1 || !arguments.has("listen")) {
        std::cerr << "crocusmount-standin: expected KIND and --listen; see --help\n";
        return ExitUsage;
    }
    net::io_context context(1);
    HttpLimits limits;
    limits.bodyBytes = 64U << 20;
    const std::string listen = arguments.get("listen");
    const auto colon = listen.rfind(':') + 1;
    const long count = arguments.number("count", 1).value_or(1);
    std::vector<std::unique_ptr<HttpHandler>> handlers;
    std::vector<std::unique_ptr<HttpServer>> servers;
    for (long i = 0; i < count; ++i) {
        Arguments handlerArguments = arguments;
        if (count > 1)
            handlerArguments.options["id"] = arguments.get("id") + "-" + std::to_string(i);
        handlers.push_back(makeHandler(context, arguments.words.front(), handlerArguments));
        if (!handlers.back()) {
            std::cerr << "crocusmount-standin: unknown kind " << arguments.words.front() << "\n";
            return ExitUsage;
        }
        const std::string address = listen.substr(0, colon) + std::to_string(std::stol(listen.substr(colon)) + i);
        auto server = HttpServer::make(context, address, limits, *handlers.back());
        if (!server.ok()) {
            std::cerr << "crocusmount-standin: " << server.status().message() << "\n";
            return ExitFailed;
        }
        servers.push_back(*std::move(server));
    }
    int exitCode = ExitOk;
    if (arguments.has("fault"))
        net::co_spawn(context.get_executor(),
            setFaults(context, servers.front()->address(), arguments.get("fault"), exitCode), net::detached);
    net::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return exitCode;
}

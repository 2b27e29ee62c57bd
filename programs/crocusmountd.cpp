// The daemon of one entry instance.

#include "programs/CommandLine.h"
#include "shell/CallerApi.h"
#include "shell/ClientConnections.h"
#include "shell/HttpServer.h"
#include "shell/Node.h"
#include "shell/OperatorApi.h"
#include "shell/ProcessLimits.h"
#include "shell/Settings.h"

#include <iostream>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

namespace {

using namespace crocusmount;

/// Answers the metrics and health paths and passes each other request to the operator or caller interface by its path.
class RequestDispatcher final : public HttpHandler {
public:
    RequestDispatcher(net::io_context& context, Node& node)
        : m_node(node)
        , m_callers(context, node)
        , m_operators(node)
    {
    }

private:
    Awaitable<void> onExchange(HttpExchange& exchange) override
    {
        const std::string path = exchange.path();
        HttpReply reply;
        if (path == "/metrics") {
            reply.contentType = "text/plain; version=0.0.4";
            reply.body = m_node.renderMetrics();
        } else if (path == "/healthz") {
            reply.body = R"({"status":"ok"})";
        } else if (path == "/readyz") {
            const bool ready
                = !m_node.reducer().isDraining() && m_node.reducer().configuration().revision != Revision();
            reply.status = ready ? 200 : 503;
            reply.body = ready ? R"({"status":"ready"})" : R"({"status":"not ready"})";
        } else if (path.compare(0, 10, "/admin/v1/") == 0) {
            co_await m_operators.handle(exchange);
            co_return;
        } else {
            co_await m_callers.handle(exchange);
            co_return;
        }
        co_await exchange.respond(std::move(reply));
    }

    Node& m_node;
    CallerApi m_callers;
    OperatorApi m_operators;
};

/// Logs asynchronously to stderr. If the queue of 8192 lines is full, the oldest line is dropped.
void setUpLog(const Settings& settings)
{
    spdlog::init_thread_pool(8192, 1);
    auto sink = std::make_shared<spdlog::sinks::stderr_sink_mt>();
    auto logger = std::make_shared<spdlog::async_logger>(
        "crocusmountd", sink, spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    const std::string instance = settings.core.self.instance.value();
    logger->set_pattern(settings.logFormat == "json"
            ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","instance":")" + instance + R"(","message":"%v"})"
            : "%Y-%m-%d %H:%M:%S.%e %l " + instance + " %v");
    logger->set_level(spdlog::level::from_str(settings.logLevel));
    spdlog::set_default_logger(logger);
}

/// Stops the event loop once the server has written the last answers.
Awaitable<void> stopWhenIdle(net::io_context& context, const HttpServer& server)
{
    Timer timer(context.get_executor());
    do {
        timer.expires_after(std::chrono::milliseconds(20));
        co_await timer.async_wait(net::as_tuple(useAwaitable));
    } while (server.busy());
    context.stop();
}

/// Raises the soft limit on open file descriptors to the hard limit.
void raiseDescriptorLimit()
{
    rlimit limit {};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

} // namespace

int main(int argc, char** argv)
{
    const Arguments arguments = readArguments(argc, argv, "Usage: crocusmountd --config FILE [options]\n",
        { { "config", "FILE", "settings, JSON (docs/settings.md)" },
            { "check-config", "FILE", "check the settings and exit" },
            { "record", "FILE", "record every event and effect for crocusmount-replay" } });
    const std::string file = arguments.get("check-config", arguments.get("config"));
    if (file.empty() || !arguments.words.empty()) {
        std::cerr << "crocusmountd: expected --config FILE; see --help\n";
        return ExitUsage;
    }
    const auto settings = readSettings(file);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << "\n";
        return ExitUsage;
    }
    if (arguments.has("check-config")) {
        std::cout << file << ": ok\n";
        return ExitOk;
    }
    raiseDescriptorLimit();
    setUpLog(*settings);
    // Everything except the log runs on this thread, so Asio needs no locks.
    net::io_context context(BOOST_ASIO_CONCURRENCY_HINT_UNSAFE);
    const auto node = Node::make(context, *settings, arguments.get("record"));
    if (!node.ok()) {
        std::cerr << "crocusmountd: " << node.status().message() << "\n";
        return ExitFailed;
    }
    RequestDispatcher dispatcher(context, **node);
    const ProcessLimits process = ProcessLimits::ofSystem().loweredTo(settings->http.memoryBytes, 0);
    const auto clients = std::make_shared<ClientConnections>(
        process.forClients(settings->http.connections), [](ClientRefusal refusal, std::uint64_t count) {
            spdlog::warn("client_refused reason={} count={}", toString(refusal), count);
        });
    (*node)->setClients(*clients);
    const auto server = HttpServer::make(context, settings->listen, settings->http, dispatcher, clients);
    if (!server.ok()) {
        std::cerr << "crocusmountd: " << server.status().message() << "\n";
        return ExitFailed;
    }
    (*node)->setConnectionCount([&] { return (*server)->connections(); });
    (*node)->setOnDrained([&] {
        spdlog::info("drained");
        (*server)->stopAccepting();
        net::co_spawn(context.get_executor(), stopWhenIdle(context, **server), net::detached);
    });
    net::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error)
            (*node)->post(event::DrainRequested {});
    });
    spdlog::info("listening address={}", (*server)->address());
    context.run();
    spdlog::shutdown();
    return ExitOk;
}

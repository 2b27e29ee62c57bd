#include "edge/DecisionLog.h"

#include <chrono>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace crocusmount::relay {

namespace {

    /// Lines that wait for the writing thread; about a second of the limit.
    constexpr std::size_t QueueLength = 1024;

    struct State {
        std::string instance;
        std::uint32_t linesPerSecond = 0;
        std::chrono::steady_clock::time_point windowStart;
        std::uint32_t inWindow = 0;
        std::uint64_t limited = 0;
        std::shared_ptr<spdlog::async_logger> logger;
    };

    State& state()
    {
        static State only;
        return only;
    }

    std::int64_t wallClockMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void write(std::string_view what, std::string_view call, const boost::json::object& inputs)
    {
        State& log = state();
        if (!log.logger)
            return;
        boost::json::object line { { "time_ms", wallClockMs() }, { "instance", log.instance }, { "what", what } };
        if (!call.empty())
            line["call"] = call;
        for (const auto& [name, value] : inputs)
            line[name] = value;
        log.logger->info(boost::json::serialize(line));
    }

} // namespace

void DecisionLog::setUp(std::string instance, std::uint32_t linesPerSecond)
{
    State& log = crocusmount::relay::state();
    log.instance = std::move(instance);
    log.linesPerSecond = linesPerSecond;
    spdlog::init_thread_pool(QueueLength, 1);
    log.logger = std::make_shared<spdlog::async_logger>("decisions", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    log.logger->set_pattern("%v");
}

void DecisionLog::shutDown()
{
    crocusmount::relay::state().logger.reset();
    spdlog::shutdown();
}

void DecisionLog::state(std::string_view what, const boost::json::object& inputs) { write(what, {}, inputs); }

void DecisionLog::call(std::string_view what, std::string_view call, const boost::json::object& inputs)
{
    State& log = crocusmount::relay::state();
    const auto now = std::chrono::steady_clock::now();
    if (now - log.windowStart >= std::chrono::seconds(1)) {
        log.windowStart = now;
        log.inWindow = 0;
    }
    if (++log.inWindow > log.linesPerSecond) {
        ++log.limited;
        return;
    }
    write(what, call, inputs);
}

std::uint64_t DecisionLog::dropped()
{
    const State& log = crocusmount::relay::state();
    const auto pool = spdlog::thread_pool();
    return log.limited + (pool ? pool->overrun_counter() : 0);
}

} // namespace crocusmount::relay

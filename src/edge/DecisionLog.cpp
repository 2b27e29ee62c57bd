#include "edge/DecisionLog.h"

#include <chrono>
#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace crocusmount::relay {

namespace {

    /// Most lines that wait for the writing thread: about as many as the limit allows in one second.
    constexpr std::size_t MaxQueuedLines = 1024;

    struct LogState {
        std::string instance;
        std::uint32_t linesPerSecond = 0; ///< limit of the lines about calls
        std::chrono::steady_clock::time_point windowStart; ///< start of the second that linesPerSecond applies to
        std::uint32_t linesInWindow = 0; ///< lines about calls since windowStart, dropped ones included
        std::uint64_t rateLimitedLines = 0; ///< lines dropped because of linesPerSecond
        std::shared_ptr<spdlog::async_logger> logger; ///< null: not set up
    };

    LogState& state()
    {
        static LogState singleton;
        return singleton;
    }

    std::int64_t wallClockMs()
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count();
    }

    void write(std::string_view what, std::string_view call, const boost::json::object& fields)
    {
        LogState& log = state();
        if (!log.logger)
            return;
        boost::json::object line { { "time_ms", wallClockMs() }, { "instance", log.instance }, { "what", what } };
        if (!call.empty())
            line["call"] = call;
        for (const auto& [name, value] : fields)
            line[name] = value;
        log.logger->info(boost::json::serialize(line));
    }

} // namespace

void DecisionLog::setUp(std::string instance, std::uint32_t linesPerSecond)
{
    LogState& log = crocusmount::relay::state();
    log.instance = std::move(instance);
    log.linesPerSecond = linesPerSecond;
    spdlog::init_thread_pool(MaxQueuedLines, 1);
    log.logger = std::make_shared<spdlog::async_logger>("decisions", std::make_shared<spdlog::sinks::stdout_sink_mt>(),
        spdlog::thread_pool(), spdlog::async_overflow_policy::overrun_oldest);
    log.logger->set_pattern("%v");
}

void DecisionLog::shutDown()
{
    crocusmount::relay::state().logger.reset();
    spdlog::shutdown();
}

void DecisionLog::state(std::string_view what, const boost::json::object& fields) { write(what, {}, fields); }

void DecisionLog::call(std::string_view what, std::string_view call, const boost::json::object& fields)
{
    LogState& log = crocusmount::relay::state();
    const auto now = std::chrono::steady_clock::now();
    if (now - log.windowStart >= std::chrono::seconds(1)) {
        log.windowStart = now;
        log.linesInWindow = 0;
    }
    if (++log.linesInWindow > log.linesPerSecond) {
        ++log.rateLimitedLines;
        return;
    }
    write(what, call, fields);
}

std::uint64_t DecisionLog::dropped()
{
    const LogState& log = crocusmount::relay::state();
    const auto pool = spdlog::thread_pool();
    return log.rateLimitedLines + (pool ? pool->overrun_counter() : 0);
}

} // namespace crocusmount::relay

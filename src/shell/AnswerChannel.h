#pragma once

#include "crocusmount/Effect.h"
#include "shell/Net.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace crocusmount {

/// Passes the tokens and the result of one request from the node to the coroutine that writes the response.
class AnswerChannel {
public:
    explicit AnswerChannel(net::io_context& context)
        : m_wakeTimer(context.get_executor())
    {
        m_wakeTimer.expires_at(std::chrono::steady_clock::time_point::max());
    }

    /// Everything that was passed to the channel since the last call of next().
    struct Batch {
        std::vector<std::string> tokens;
        bool completed = false; ///< no more tokens follow
        std::optional<effect::FailAnswer> failure; ///< set if the request has failed
    };

    /// Adds a token.
    void push(std::string token)
    {
        m_batch.tokens.push_back(std::move(token));
        m_wakeTimer.cancel();
    }

    /// Ends the answer successfully.
    void complete()
    {
        m_batch.completed = true;
        m_wakeTimer.cancel();
    }

    /// Ends the answer with an error.
    void fail(const effect::FailAnswer& failure)
    {
        m_batch.failure = failure;
        m_wakeTimer.cancel();
    }

    /// Wakes the waiting coroutine because the caller has disconnected.
    void abandon()
    {
        m_isAbandoned = true;
        m_wakeTimer.cancel();
    }
    /// @return whether the caller has disconnected
    bool abandoned() const { return m_isAbandoned; }

    /// Waits for a token, the end of the answer or abandon().
    /// @return everything since the last call; empty after abandon() if nothing else was passed
    Awaitable<Batch> next()
    {
        while (m_batch.tokens.empty() && !m_batch.completed && !m_batch.failure && !m_isAbandoned)
            co_await m_wakeTimer.async_wait(net::as_tuple(useAwaitable));
        co_return std::exchange(m_batch, Batch());
    }

private:
    Timer m_wakeTimer; ///< never expires; cancelled to wake next()
    Batch m_batch;
    bool m_isAbandoned = false;
};

} // namespace crocusmount

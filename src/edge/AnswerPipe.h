#pragma once

#include "relay/RelayEffect.h"
#include "shell/Net.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusmount::relay {

/// The head of a server's answer, without the headers that concern one connection only.
struct AnswerHead {
    unsigned status = 200;
    std::string reason;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// A whole answer.
struct WholeAnswer {
    AnswerHead head;
    std::string body;
};

/// Carries one answer from the attempts to the coroutine that writes it to the caller.
class AnswerPipe {
public:
    explicit AnswerPipe(net::io_context& context)
        : m_wake(context.get_executor())
    {
        m_wake.expires_at(std::chrono::steady_clock::time_point::max());
    }

    /// What came since the last look.
    struct Batch {
        std::optional<AnswerHead> head; ///< of a stream
        std::string bytes; ///< of a stream
        bool ended = false; ///< the stream is complete
        bool broken = false; ///< it never will be
        std::optional<WholeAnswer> whole;
        std::optional<effect::Refuse> refusal;

        bool empty() const { return !head && bytes.empty() && !ended && !broken && !whole && !refusal; }
    };

    void begin(AnswerHead head)
    {
        change([&] { m_batch.head = std::move(head); });
    }
    void append(std::string_view bytes)
    {
        change([&] { m_batch.bytes.append(bytes); });
    }
    void end()
    {
        change([&] { m_batch.ended = true; });
    }
    void breakOff()
    {
        change([&] { m_batch.broken = true; });
    }
    void deliver(WholeAnswer answer)
    {
        change([&] { m_batch.whole = std::move(answer); });
    }
    void refuse(const effect::Refuse& refusal)
    {
        change([&] { m_batch.refusal = refusal; });
    }

    /// Keeps a server's failure in case no other attempt does better.
    void hold(WholeAnswer failure) { m_held = std::move(failure); }
    void deliverHeld()
    {
        if (m_held)
            deliver(*std::exchange(m_held, std::nullopt));
        else
            breakOff();
    }

    /// Ends the wait of a coroutine whose caller has gone.
    void abandon()
    {
        m_abandoned = true;
        m_wake.cancel();
    }
    bool abandoned() const { return m_abandoned; }

    /// Waits until something came.
    Awaitable<Batch> next()
    {
        while (m_batch.empty() && !m_abandoned)
            co_await m_wake.async_wait(net::as_tuple(useAwaitable));
        co_return std::exchange(m_batch, Batch());
    }

private:
    template <typename Change>
    void change(Change&& apply)
    {
        apply();
        m_wake.cancel();
    }

    Timer m_wake;
    Batch m_batch;
    std::optional<WholeAnswer> m_held;
    bool m_abandoned = false;
};

} // namespace crocusmount::relay

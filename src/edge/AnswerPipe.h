#pragma once

#include "relay/RelayEffect.h"
#include "shell/Net.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocusmount::relay {

/// The head of a server's answer, without hop-by-hop headers.
struct AnswerHead {
    unsigned status = 200;
    std::string reason; ///< reason phrase of the status line; empty: the standard one is written
    std::vector<std::pair<std::string, std::string>> headers;
};

/// An answer that is delivered at once, as opposed to a stream.
struct WholeAnswer {
    AnswerHead head;
    std::string body;
};

/// Passes one call's answer from its attempts to the coroutine that writes the answer to the caller. Single-threaded.
class AnswerPipe {
public:
    explicit AnswerPipe(net::io_context& context)
        : m_changeSignal(context.get_executor())
    {
        m_changeSignal.expires_at(std::chrono::steady_clock::time_point::max());
    }

    /// The parts of the answer that arrived since the previous call of next().
    struct Batch {
        std::optional<AnswerHead> head; ///< head of a stream
        std::string bytes; ///< next bytes of a stream's body
        bool hasEnded = false; ///< the stream is complete
        bool isBroken = false; ///< the answer was broken off and will never be complete
        std::optional<WholeAnswer> wholeAnswer; ///< an answer of a backend server
        std::optional<effect::Refuse> refusal; ///< an answer of this instance

        bool empty() const { return !head && bytes.empty() && !hasEnded && !isBroken && !wholeAnswer && !refusal; }
    };

    /// Starts a stream.
    void begin(AnswerHead head)
    {
        update([&] { m_pending.head = std::move(head); });
    }
    /// Adds bytes to the body of a stream.
    void append(std::string_view bytes)
    {
        update([&] { m_pending.bytes.append(bytes); });
    }
    /// Marks the stream as complete.
    void end()
    {
        update([&] { m_pending.hasEnded = true; });
    }
    /// Ends the answer so that the caller sees that the answer is incomplete.
    void breakOff()
    {
        update([&] { m_pending.isBroken = true; });
    }
    /// Delivers an answer of a backend server.
    void deliver(WholeAnswer answer)
    {
        update([&] { m_pending.wholeAnswer = std::move(answer); });
    }
    /// Delivers a refusal of this instance.
    void refuse(const effect::Refuse& refusal)
    {
        update([&] { m_pending.refusal = refusal; });
    }

    /// Keeps a server's failure, to be delivered if no later attempt succeeds.
    void keepFailure(WholeAnswer failure)
    {
        m_keptFailure = std::move(failure);
        reportKept();
    }
    /// Delivers the kept failure, or breaks the answer off if there is none.
    void deliverKeptFailure()
    {
        if (m_keptFailure)
            deliver(*std::exchange(m_keptFailure, std::nullopt));
        else
            breakOff();
    }

    /// Reports bytes of an answer that an attempt keeps until it is complete.
    void collect(std::size_t bytes)
    {
        if (bytes == m_collectedBytes)
            return;
        m_collectedBytes = bytes;
        reportKept();
    }
    /// Sets the function that is told how many bytes of the answer wait to be taken with next().
    void setOnKept(std::function<void(std::size_t bytes)> report) { m_reportKept = std::move(report); }

    /// Ends next(), because the caller has closed its connection.
    void abandon()
    {
        m_isAbandoned = true;
        m_changeSignal.cancel();
    }
    bool isAbandoned() const { return m_isAbandoned; }

    /// Waits until a part of the answer arrives or the pipe is abandoned.
    /// @return the parts that arrived, perhaps none if the pipe is abandoned
    Awaitable<Batch> next()
    {
        while (m_pending.empty() && !m_isAbandoned)
            co_await m_changeSignal.async_wait(net::as_tuple(useAwaitable));
        Batch batch = std::exchange(m_pending, Batch());
        reportKept();
        co_return batch;
    }

private:
    template <typename Update>
    void update(Update&& apply)
    {
        apply();
        reportKept();
        m_changeSignal.cancel();
    }

    void reportKept()
    {
        if (!m_reportKept)
            return;
        const std::size_t whole = m_pending.wholeAnswer ? m_pending.wholeAnswer->body.size() : 0;
        const std::size_t failure = m_keptFailure ? m_keptFailure->body.size() : 0;
        m_reportKept(m_pending.bytes.size() + whole + failure + m_collectedBytes);
    }

    Timer m_changeSignal; ///< never expires; cancelled to wake up next()
    Batch m_pending; ///< not yet taken by next()
    std::optional<WholeAnswer> m_keptFailure;
    std::size_t m_collectedBytes = 0; ///< as of the latest collect()
    std::function<void(std::size_t)> m_reportKept; ///< null: nobody is told
    bool m_isAbandoned = false;
};

} // namespace crocusmount::relay

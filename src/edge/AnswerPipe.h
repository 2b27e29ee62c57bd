#pragma once

#include "relay/RelayEffect.h"
#include "shell/Net.h"

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
    /// Keeps an answer until it is known whether it is whole. Replaces the one that was kept before.
    void keepUnproven(WholeAnswer answer) { m_unproven = std::move(answer); }
    /// Forgets the kept answer, which is not whole.
    void dropUnproven() { m_unproven.reset(); }
    /// Delivers the kept answer, or ends the stream.
    void complete()
    {
        if (m_unproven)
            deliver(*std::exchange(m_unproven, std::nullopt));
        else
            end();
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
    void keepFailure(WholeAnswer failure) { m_keptFailure = std::move(failure); }
    /// Delivers the kept failure, or breaks the answer off if there is none.
    void deliverKeptFailure()
    {
        if (m_keptFailure)
            deliver(*std::exchange(m_keptFailure, std::nullopt));
        else
            breakOff();
    }

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
        co_return std::exchange(m_pending, Batch());
    }

private:
    template <typename Update>
    void update(Update&& apply)
    {
        apply();
        m_changeSignal.cancel();
    }

    Timer m_changeSignal; ///< never expires; cancelled to wake up next()
    Batch m_pending; ///< not yet taken by next()
    std::optional<WholeAnswer> m_keptFailure;
    std::optional<WholeAnswer> m_unproven; ///< see keepUnproven()
    bool m_isAbandoned = false;
};

} // namespace crocusmount::relay

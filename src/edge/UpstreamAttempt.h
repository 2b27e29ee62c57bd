#pragma once

#include "edge/AnswerPipe.h"
#include "edge/EventSplitter.h"
#include "edge/HeaderNames.h"
#include "relay/RelayEvent.h"
#include "shell/Net.h"

#include <functional>
#include <memory>

namespace crocusmount::relay {

using CallerRequest = http::request<http::string_body>;

/// One attempt at one backend server: sends the call, checks the answer and hands it over.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
public:
    using Post = std::function<void(RelayEventBody)>;

    /// @param request  as the caller sent it
    /// @param pipe     where the answer goes
    UpstreamAttempt(net::io_context&, const HeaderNames&, effect::StartAttempt,
        std::shared_ptr<const CallerRequest> request, std::shared_ptr<AnswerPipe> pipe, Post);

    /// Runs in the background until the attempt ended or was cancelled.
    void start();
    /// Closes the connection. Nothing is reported after that.
    void cancel();

    /// Hands over no further event until continueAnswer.
    void hold();
    void continueAnswer();

    /// @return the call as the server gets it
    static CallerRequest outgoing(const HeaderNames&, const effect::StartAttempt&, const CallerRequest&);

private:
    using Parser = http::response_parser<http::buffer_body>;

    Awaitable<event::AttemptEnded> run();
    Awaitable<bool> connect();
    Awaitable<bool> readHead(std::unique_ptr<Parser>&);
    Awaitable<bool> discard(Parser&);
    Awaitable<bool> readSome(Parser&, std::string_view& bytes);
    Awaitable<event::AttemptEnded> takeWhole(Parser&, bool success);
    Awaitable<event::AttemptEnded> takeStream(Parser&);
    Awaitable<bool> deliverEvents(EventSplitter&, const AnswerHead&);
    Awaitable<void> untilReleased();
    bool isOwnAnswer(const Parser&) const;
    event::AttemptEnded ended(AttemptResult, unsigned status = 0, std::string culprit = {}) const;

    const HeaderNames& m_names;
    effect::StartAttempt m_order;
    std::shared_ptr<const CallerRequest> m_request;
    std::shared_ptr<AnswerPipe> m_pipe;
    Post m_post;
    TcpStream m_stream;
    beast::flat_buffer m_buffer;
    std::array<char, 8192> m_piece {};
    std::uint64_t m_lastEvent = 0;
    bool m_begun = false; ///< the caller has the head of the answer
    bool m_cancelled = false;
    bool m_held = false;
    Timer m_release; ///< cancelled as a hold ends
};

} // namespace crocusmount::relay

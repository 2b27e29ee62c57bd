#pragma once

#include "edge/AnswerPipe.h"
#include "edge/EventSplitter.h"
#include "edge/HeaderNames.h"
#include "relay/RelayEvent.h"
#include "shell/Net.h"

#include <functional>
#include <memory>

namespace crocusmount {
class RequestSender;
}

namespace crocusmount::relay {

class UnknownHeaders;

using CallerRequest = http::request<http::string_body>;

/// One attempt to have a call answered by a backend server: sends the request, checks the answer and passes the answer
/// to the caller's pipe.
class UpstreamAttempt : public std::enable_shared_from_this<UpstreamAttempt> {
public:
    /// Receives the events of the attempt.
    using PostEvent = std::function<void(RelayEventBody)>;

    /// @param names    must outlive the attempt
    /// @param unknown  counts the headers of the answer that are not known; must outlive the attempt
    /// @param order    the server to call, with deadline, chain and resume point
    /// @param request  as the caller sent it
    /// @param pipe     receives the answer
    UpstreamAttempt(net::io_context&, const HeaderNames& names, UnknownHeaders& unknown, effect::StartAttempt order,
        std::shared_ptr<const CallerRequest> request, std::shared_ptr<AnswerPipe> pipe, PostEvent);

    /// Runs the attempt in the background. Its end is posted as AttemptEnded, unless the attempt is cancelled.
    void start();
    /// Closes the connection. No event is posted afterwards.
    void cancel();

    /// Delivers no further event of a stream to the caller until continueAnswer().
    void hold();
    /// Ends hold().
    void continueAnswer();

    /// Builds the request for the server: the caller's request without hop-by-hop headers, credentials and headers that
    /// only instances may set, and with the headers of this attempt.
    /// @param request    as the caller sent it
    /// @param remaining  until the call's deadline
    static CallerRequest buildServerRequest(
        const HeaderNames&, const effect::StartAttempt&, const CallerRequest& request, Duration remaining);

private:
    using Parser = http::response_parser<http::buffer_body>;

    Awaitable<event::AttemptEnded> run();
    /// @return whether the connection was established in time
    Awaitable<bool> connect();
    /// Reads the head of the next answer on the connection.
    /// @param parser  set to a new parser, which also reads the body
    /// @return whether a head was read
    Awaitable<bool> readHead(std::unique_ptr<Parser>& parser);
    /// Reads the rest of an answer and ignores the bytes.
    /// @return whether another answer may follow on the connection
    Awaitable<bool> discardBody(Parser&);
    /// Reads the next bytes of a body.
    /// @param bytes  set to the bytes read; valid until the next read
    /// @return false on an error or if the attempt was cancelled
    Awaitable<bool> readBodyChunk(Parser&, std::string_view& bytes);
    /// Reads the whole body, and delivers a success or keeps a failure.
    Awaitable<event::AttemptEnded> relayWholeAnswer(Parser&, bool isSuccess);
    /// Delivers a server-sent event stream, one whole event at a time.
    Awaitable<event::AttemptEnded> relayStream(Parser&);
    /// Delivers the whole events that the splitter contains.
    /// @param events  increased by the number of events delivered
    /// @return whether the attempt may go on
    Awaitable<bool> deliverEvents(EventSplitter&, const AnswerHead&, std::uint32_t& events);
    /// Waits while hold() is in effect.
    Awaitable<void> waitUntilReleased();
    /// Posts what the head of the answer states about its server.
    void postNotice(const http::response_header<>&);
    /// @return whether an answer belongs to this call
    bool isOwnAnswer(const Parser&) const;
    /// @return what marks the end of the answer's body
    static AnswerFraming framingOf(const Parser&);
    /// @return what ended the reading of the answer's body
    AnswerStop stopOf(const Parser&) const;
    /// @return what an end of the connection is that the read found to be in order
    AnswerStop closedStop() const;
    event::AttemptEnded makeEnded(AttemptResult, unsigned status = 0, std::string culprit = {}) const;

    const HeaderNames& m_headerNames;
    UnknownHeaders& m_unknownHeaders;
    effect::StartAttempt m_order; ///< the server to call, with deadline, chain and resume point
    std::shared_ptr<const CallerRequest> m_request;
    std::shared_ptr<AnswerPipe> m_pipe;
    PostEvent m_postEvent;
    TcpStream m_stream;
    std::shared_ptr<RequestSender> m_sender; ///< null until the connection is established
    /// Limits what the parser leaves unread, such as the extension of a chunk before its end has arrived.
    static constexpr std::size_t MaxReadAheadBytes = 128U << 10U;
    beast::flat_buffer m_readAhead; ///< bytes received and not yet parsed
    std::chrono::steady_clock::time_point m_callDeadline;
    std::chrono::steady_clock::time_point m_deadline; ///< no bytes are read later
    boost::system::error_code m_readError; ///< of the latest read of a body
    std::array<char, 8192> m_bodyChunk {}; ///< filled by each read of a body
    std::uint64_t m_lastEventId = 0; ///< id of the last event that the caller has; 0: none
    ConnectFailure m_connectFailure = ConnectFailure::Other; ///< why connect() failed
    bool m_hasDeliveredHead = false; ///< the head of a stream was delivered to the caller
    bool m_isCancelled = false;
    bool m_isHeld = false; ///< hold() is in effect
    Timer m_releaseSignal; ///< never expires; cancelled to end a hold
};

} // namespace crocusmount::relay

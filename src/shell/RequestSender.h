#pragma once

#include "shell/Net.h"

#include <memory>

namespace crocusmount {

/// Sends a request while its answer is read: a server may answer before it has read the request, and then not read on.
///
/// It also keeps what the sending shows about the end of the connection. The system reports a reset once, to the
/// operation that comes first; a read after a write that was told of it finds an end in order.
class RequestSender : public std::enable_shared_from_this<RequestSender> {
public:
    using Request = http::request<http::string_body>;

    /// Starts to send. Closing the stream ends it.
    /// @param stream   an open connection, with the time limit of its writes set
    /// @param owner    keeps the stream alive until the sending has ended
    static std::shared_ptr<RequestSender> start(TcpStream& stream, std::shared_ptr<void> owner, Request);

    /// @return whether the whole request was sent, so that the connection can carry another one
    bool isSent() const { return m_isDone && !m_error; }
    /// @return whether the connection ended other than by an orderly close of the server, as far as the sending shows
    bool hasConnectionFailed() const;

private:
    explicit RequestSender(Request request)
        : m_request(std::move(request))
    {
    }
    Awaitable<void> send(TcpStream&);

    Request m_request;
    boost::system::error_code m_error; ///< of the sending, once it is done
    bool m_isDone = false;
};

} // namespace crocusmount

#pragma once

#include "shell/Net.h"

namespace crocusmount {

class ClientConnection;
class RequestDecoder;

/// What readRequestPart() reads up to.
enum class RequestPart {
    Head,
    Whole,
};

/// Reads from a client until a part of its request is complete. The deadlines of the stream apply.
/// @param client  holds the memory; if it is ended, the read ends
/// @return no error, net::error::no_memory if the client was ended, http::error::partial_message if the client closed
///         inside the request, or the error of the decoder or the socket
Awaitable<boost::system::error_code> readRequestPart(
    TcpStream&, RequestDecoder&, ClientConnection& client, RequestPart);

/// Closes the sending direction, and then reads and discards what the client still sends, for a limited time. A client
/// that is still sending would otherwise be reset before it has read its answer.
Awaitable<void> lingerUntilClosed(TcpStream&, ClientConnection&);

} // namespace crocusmount

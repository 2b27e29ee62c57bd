#pragma once

#include "shell/Net.h"

namespace crocusmount {

/// How a scripted server ends a connection after its answer.
enum class ConnectionEnd {
    Closed, ///< in order, as the system also does for a process that dies
    Reset,
};

/// Ends a connection after all bytes were sent.
inline void endConnection(TcpStream& stream, ConnectionEnd end)
{
    boost::system::error_code ignored;
    if (end == ConnectionEnd::Reset) {
        stream.socket().set_option(net::socket_base::linger(true, 0), ignored);
        stream.socket().close(ignored);
    } else {
        stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    }
}

} // namespace crocusmount

#pragma once

#include "shell/Endpoint.h"

#include <absl/strings/str_cat.h>

namespace crocusmount {

using Acceptor = net::basic_socket_acceptor<Tcp, Executor>;

/// Opens a listening socket.
/// @param address  "ip:port"
/// @param backlog  maximum number of connections that wait to be accepted
/// @param receiveBufferBytes  of each connection, for what has been received and not read; 0: the system's choice
/// @return the socket; InvalidArgument if the address is malformed, or Unavailable with the address and the system
///         error
inline absl::StatusOr<Acceptor> listenOn(
    net::io_context& context, const std::string& address, int backlog, std::size_t receiveBufferBytes = 0)
{
    const auto endpoint = parseEndpoint<Tcp>(address);
    if (!endpoint.ok())
        return endpoint.status();
    Acceptor acceptor(context.get_executor());
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(net::socket_base::reuse_address(true), error);
    if (!error && receiveBufferBytes) {
        // Accepted connections inherit the size. A system that refuses it has a limit of its own.
        boost::system::error_code ignored;
        acceptor.set_option(net::socket_base::receive_buffer_size(static_cast<int>(receiveBufferBytes)), ignored);
    }
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(backlog, error);
    if (error)
        return absl::UnavailableError(absl::StrCat("cannot listen on ", address, ": ", error.message()));
    return acceptor;
}

} // namespace crocusmount

#include "shell/RequestSender.h"

namespace crocusmount {

std::shared_ptr<RequestSender> RequestSender::start(TcpStream& stream, std::shared_ptr<void> owner, Request request)
{
    std::shared_ptr<RequestSender> sender(new RequestSender(std::move(request)));
    net::co_spawn(
        stream.get_executor(),
        [sender, &stream, owner = std::move(owner)]() -> Awaitable<void> { co_await sender->send(stream); },
        net::detached);
    return sender;
}

bool RequestSender::hasConnectionFailed() const
{
    // A write after the server's orderly close fails with a broken pipe; a reset that comes first, with its own error.
    return m_error && m_error != net::error::broken_pipe;
}

Awaitable<void> RequestSender::send(TcpStream& stream)
{
    const auto [error, count] = co_await http::async_write(stream, m_request, net::as_tuple(useAwaitable));
    m_error = error;
    m_isDone = true;
}

} // namespace crocusmount

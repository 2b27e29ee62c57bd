#pragma once

#include "shell/Endpoint.h"
#include "shell/Net.h"
#include "tests/fakes/ConnectionEnd.h"

#include <algorithm>
#include <string>
#include <vector>

namespace crocusmount {

/// Answers the first request of each connection with the next one of a list of byte sequences, then ends the
/// connection. The last sequence is repeated.
class ScriptedHttpServer {
public:
    ScriptedHttpServer(
        net::io_context& context, std::vector<std::string> answers, ConnectionEnd connectionEnd = ConnectionEnd::Closed)
        : m_acceptor(context.get_executor(), *parseEndpoint<Tcp>("127.0.0.1:0"))
        , m_answers(std::move(answers))
        , m_connectionEnd(connectionEnd)
    {
        net::co_spawn(context.get_executor(), run(), net::detached);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    /// @return the targets of the requests so far
    const std::vector<std::string>& targets() const { return m_targets; }
    /// @return the values of a header in the requests so far, without a separator
    std::string headers(std::string_view name) const
    {
        std::string values;
        for (const auto& request : m_requests)
            values += std::string(request[name]);
        return values;
    }

private:
    Awaitable<void> run()
    {
        constexpr auto asTuple = net::as_tuple(useAwaitable);
        while (true) {
            TcpStream stream(m_acceptor.get_executor());
            const auto [error] = co_await m_acceptor.async_accept(stream.socket(), asTuple);
            if (error)
                co_return;
            beast::flat_buffer buffer;
            http::request<http::string_body> request;
            co_await http::async_read(stream, buffer, request, asTuple);
            const std::string answer = m_answers.at(std::min(m_targets.size(), m_answers.size() - 1));
            m_targets.emplace_back(request.target());
            m_requests.push_back(request);
            co_await net::async_write(stream, net::buffer(answer), asTuple);
            endConnection(stream, m_connectionEnd);
        }
    }

    net::basic_socket_acceptor<Tcp, Executor> m_acceptor;
    std::vector<std::string> m_answers;
    ConnectionEnd m_connectionEnd;
    std::vector<std::string> m_targets;
    std::vector<http::request<http::string_body>> m_requests;
};

} // namespace crocusmount

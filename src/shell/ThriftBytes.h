#pragma once

#include <absl/status/statusor.h>
#include <memory>
#include <string>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace crocusmount {

/// Serializes a generated Thrift struct.
/// @return the struct in the Thrift compact protocol
template <typename Struct>
std::string toThriftBytes(const Struct& value)
{
    using apache::thrift::transport::TMemoryBuffer;
    auto buffer = std::make_shared<TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
    value.write(&protocol);
    return buffer->getBufferAsString();
}

/// Deserializes a generated Thrift struct.
/// @param bytes  the struct in the Thrift compact protocol
/// @return the struct, or InvalidArgument if the bytes cannot be decoded
template <typename Struct>
absl::StatusOr<Struct> fromThriftBytes(const std::string& bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    try {
        auto buffer = std::make_shared<TMemoryBuffer>();
        buffer->write(reinterpret_cast<const std::uint8_t*>(bytes.data()), static_cast<std::uint32_t>(bytes.size()));
        apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(buffer);
        Struct value;
        value.read(&protocol);
        return value;
    } catch (const apache::thrift::TException& error) {
        return absl::InvalidArgumentError(error.what());
    }
}

} // namespace crocusmount

#pragma once

#include "base/endpoint.hpp"
#include "base/file_descriptor.hpp"

#include <absl/time/time.h>

#include <string>

namespace samphire
{

/// Sends and receives raw bytes over one loopback connection.
class loopback_client
{
public:
    explicit loopback_client(endpoint server);
    explicit loopback_client(file_descriptor socket);

    void send(std::string const& bytes);
    /// Bytes that arrive before the connection is silent for `time` or the peer
    /// closes it.
    std::string receive(absl::Duration time);
    bool closed() const
    {
        return closed_;
    }
    /// Closes the connection with a TCP reset.
    void reset();

private:
    file_descriptor socket_;
    bool closed_{};
};

} // namespace samphire

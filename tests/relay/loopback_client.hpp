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
    /// Returns the bytes that arrive before the connection is silent for
    /// `silence` or the peer closes the connection.
    std::string receive(absl::Duration silence);
    bool closed() const
    {
        return closed_;
    }
    /// Ends the sending direction; the peer reads the end of the stream.
    void end_sending();
    /// Closes the connection with a TCP reset.
    void reset();

private:
    file_descriptor socket_;
    bool closed_{};
};

} // namespace samphire

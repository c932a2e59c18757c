#include "daemon/peer_connection.hpp"

#include "wire/message_codec.hpp"

#include <array>
#include <cerrno>
#include <cstdint>
#include <sys/socket.h>

namespace samphire
{

namespace
{

constexpr std::size_t read_buffer_bytes = 64 * 1024;

} // namespace

bool peer_connection::queue(std::string_view message)
{
    if (send_buffer_.size() - sent_bytes_ + message.size() > max_unsent_bytes)
        return false;
    auto const size = static_cast<std::uint32_t>(message.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        send_buffer_.push_back(static_cast<char>(size >> shift));
    send_buffer_.append(message);
    return true;
}

bool peer_connection::flush()
{
    while (has_unsent_bytes())
    {
        auto const written = ::send(
            descriptor(),
            send_buffer_.data() + sent_bytes_,
            send_buffer_.size() - sent_bytes_,
            MSG_NOSIGNAL);
        if (written < 0)
            return errno == EAGAIN || errno == EINTR || errno == EINPROGRESS ||
                   errno == ENOTCONN;
        sent_bytes_ += static_cast<std::size_t>(written);
    }
    send_buffer_.clear();
    sent_bytes_ = 0;
    return true;
}

bool peer_connection::receive()
{
    std::array<char, read_buffer_bytes> buffer;
    for (;;)
    {
        auto const count =
            ::recv(descriptor(), buffer.data(), buffer.size(), 0);
        if (count < 0)
            return errno == EAGAIN || errno == EINTR;
        if (count == 0)
            return false;
        receive_buffer_.append(buffer.data(), static_cast<std::size_t>(count));
        if (static_cast<std::size_t>(count) < buffer.size())
            return true;
    }
}

std::optional<std::string> peer_connection::next_message()
{
    std::size_t const available = receive_buffer_.size() - consumed_bytes_;
    std::size_t size = 0;
    if (available >= length_bytes)
    {
        for (std::size_t i = 0; i < length_bytes; ++i)
            size = (size << 8) | static_cast<unsigned char>(
                                     receive_buffer_[consumed_bytes_ + i]);
        received_oversized_message_ = size > message_codec::max_message_bytes;
    }
    if (available < length_bytes || received_oversized_message_ ||
        available - length_bytes < size)
    {
        receive_buffer_.erase(0, consumed_bytes_);
        consumed_bytes_ = 0;
        return std::nullopt;
    }
    std::string message =
        receive_buffer_.substr(consumed_bytes_ + length_bytes, size);
    consumed_bytes_ += length_bytes + size;
    return message;
}

} // namespace samphire

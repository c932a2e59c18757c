#pragma once

#include <pthread.h>
#include <string>
#include <thread>
#include <utility>

namespace samphire
{

/// Thread named by its duty; joined when it goes out of scope.
class duty_thread
{
public:
    template <class Function>
    duty_thread(std::string const& duty, Function function)
        : thread_(std::move(function))
    {
        // The kernel keeps 15 characters of a thread's name.
        ::pthread_setname_np(
            thread_.native_handle(), duty.substr(0, 15).c_str());
    }

    duty_thread(duty_thread const&) = delete;
    duty_thread& operator=(duty_thread const&) = delete;

    ~duty_thread()
    {
        thread_.join();
    }

private:
    std::thread thread_;
};

} // namespace samphire

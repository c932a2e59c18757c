#include <CppUTest/CommandLineTestRunner.h>

int main(int argc, char** argv)
{
    // CppUTest would report caches that libraries allocate once as leaks; the
    // AddressSanitizer build checks for leaks instead.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}

// Reads and creates key files.

#include "operator_login.hpp"

#include <pollenhall/io/node_settings.hpp>
#include <pollenhall/io/operator_key.hpp>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <sstream>
#include <stdexcept>
#include <sys/stat.h>
#include <unistd.h>

namespace pollenhall
{
namespace
{

constexpr mode_t key_file_mode = 0600;
constexpr mode_t group_and_other_bits = 0077;

[[noreturn]] void throw_key_file_error(std::string const& path,
                                       std::string const& reason)
{
    throw std::invalid_argument("key file " + path + ": " + reason);
}

} // namespace

operator_login read_key_file(std::string const& path)
{
    if (path.empty())
        throw std::invalid_argument(
            "--key-file is missing; it names a file with one line NAME KEY, "
            "as written by pollenctl new-key");
    struct stat info = {};
    if (stat(path.c_str(), &info) != 0)
        throw_key_file_error(path, std::strerror(errno));
    if ((info.st_mode & group_and_other_bits) != 0)
        throw_key_file_error(
            path, "other users can access it; restrict it with chmod 600");
    auto const text = read_file(path);
    if (!text.ok())
        throw_key_file_error(path, std::string(text.status().message()));
    std::istringstream in(*text);
    operator_login login;
    std::string rest;
    if (!(in >> login.name >> login.key) || in >> rest)
        throw_key_file_error(path, "expected one line NAME KEY");
    return login;
}

std::string create_key_file(std::string const& path, std::string const& name)
{
    auto const key = make_operator_key();
    if (!key.ok())
        throw_key_file_error(path, std::string(key.status().message()));
    int const descriptor = open(
        path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, key_file_mode);
    if (descriptor < 0)
        throw_key_file_error(path, std::strerror(errno));
    auto const line = name + " " + *key + "\n";
    bool const written = write(descriptor, line.data(), line.size()) ==
                         static_cast<ssize_t>(line.size());
    close(descriptor);
    if (!written)
        throw_key_file_error(path, "it could not be written completely");
    return hash_operator_key(*key);
}

} // namespace pollenhall

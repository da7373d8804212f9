// Reads a folder of declarations from version control.

#pragma once

#include <pollenhall/declarations.hpp>
#include <pollenhall/findings.hpp>

#include <string>
#include <vector>

namespace pollenhall
{

/// Reads all files below `path`. What cannot be read is added to `findings`;
/// files whose names start with a dot are passed over.
std::vector<declaration_file> read_folder(std::string const& path,
                                          finding_list& findings);

} // namespace pollenhall

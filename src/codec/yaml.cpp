#include "codec/yaml.hpp"

#include <yaml-cpp/yaml.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <sstream>

namespace guavaline::detail {
namespace {

json::value Convert(const YAML::Node& aNode, const std::string& aPath,
                    YamlDocument& aDocument, Problems& aProblems)
{
  aDocument.mLines[aPath] = aNode.Mark().line + 1;
  if (aNode.IsMap()) {
    json::object out;
    for (const auto& it : aNode) {
      const auto key = it.first.Scalar();
      const auto path = aPath.empty() ? key : aPath + "." + key;
      if (out.contains(key)) {
        aProblems.push_back(
          { {}, it.first.Mark().line + 1, path, "the key twice", "once" });
      }
      auto value = Convert(it.second, path, aDocument, aProblems);
      aDocument.mLines[path] = it.first.Mark().line + 1;
      out[key] = std::move(value);
    }
    return out;
  }
  if (aNode.IsSequence()) {
    json::array out;
    std::size_t n = 0;
    for (const auto& it : aNode) {
      const auto path = aPath + "[" + std::to_string(n++) + "]";
      out.push_back(Convert(it, path, aDocument, aProblems));
    }
    return out;
  }
  if (aNode.IsScalar()) {
    return json::value(aNode.Scalar());
  }
  return nullptr;
}

void EmitNode(YAML::Emitter& aOut, const json::value& aValue,
              const std::string& aPath, const CommentFor& aComment)
{
  if (aValue.is_object()) {
    aOut << YAML::BeginMap;
    for (const auto& [key, value] : aValue.get_object()) {
      const std::string name(key);
      const auto path = aPath.empty() ? name : aPath + "." + name;
      const auto comment = aComment(path);
      if (!comment.empty()) {
        aOut << YAML::Newline << YAML::Comment(comment) << YAML::Newline;
      }
      aOut << YAML::Key << name << YAML::Value;
      EmitNode(aOut, value, path, aComment);
    }
    aOut << YAML::EndMap;
    return;
  }
  if (aValue.is_array()) {
    const auto& list = aValue.get_array();
    const bool flat = list.empty() || !list.front().is_object();
    aOut << (flat ? YAML::Flow : YAML::Block) << YAML::BeginSeq;
    for (const auto& it : list) {
      EmitNode(aOut, it, aPath + "[]", aComment);
    }
    aOut << YAML::EndSeq;
    return;
  }
  if (aValue.is_string()) {
    aOut << std::string(aValue.get_string());
    return;
  }
  aOut << json::serialize(aValue);
}

int LineOf(const YamlDocument& aDocument, std::string aPath)
{
  while (true) {
    const auto it = aDocument.mLines.find(aPath);
    if (it != aDocument.mLines.end()) {
      return it->second;
    }
    const auto cut = aPath.find_last_of(".[");
    if (cut == std::string::npos) {
      return 1;
    }
    aPath.resize(cut);
  }
}

} // namespace

YamlDocument ParseYaml(const std::string& aText, Problems& aProblems)
{
  YamlDocument out;
  try {
    out.mValue = Convert(YAML::Load(aText), {}, out, aProblems);
  } catch (const YAML::Exception& error) {
    aProblems.push_back(
      { {}, error.mark.line + 1, "document", error.msg, "YAML" });
  }
  return out;
}

std::string EmitYaml(const json::value& aValue, const CommentFor& aComment)
{
  YAML::Emitter out;
  EmitNode(out, aValue, {}, aComment);
  return std::string(out.c_str()) + "\n";
}

std::optional<std::string> ReadFile(const std::string& aPath,
                                    Problems& aProblems)
{
  const std::ifstream in(aPath);
  if (!in) {
    aProblems.push_back(
      { aPath, 0, "file", std::strerror(errno), "a file that can be read" });
    return std::nullopt;
  }
  std::ostringstream buf;
  buf << in.rdbuf();
  return buf.str();
}

void LocateProblems(const std::string& aFile, const YamlDocument& aDocument,
                    Problems& aProblems)
{
  for (auto& it : aProblems) {
    it.mFile = aFile;
    if (it.mLine == 0) {
      it.mLine = LineOf(aDocument, it.mField);
    }
  }
}

} // namespace guavaline::detail

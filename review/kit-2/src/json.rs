//! A small JSON reader, and base64.

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> &Json {
        if let Json::Object(fields) = self {
            for (key, value) in fields {
                if key == name {
                    return value;
                }
            }
        }
        &Json::Null
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    match self.peek()? {
                        b'}' => {
                            self.at += 1;
                            return Some(Json::Object(fields));
                        }
                        b',' => self.at += 1,
                        _ => {
                            let Json::Text(key) = self.value()? else {
                                return None;
                            };
                            if self.peek()? != b':' {
                                return None;
                            }
                            self.at += 1;
                            fields.push((key, self.value()?));
                        }
                    }
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    match self.peek()? {
                        b']' => {
                            self.at += 1;
                            return Some(Json::List(list));
                        }
                        b',' => self.at += 1,
                        _ => list.push(self.value()?),
                    }
                }
            }
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while let Some(byte) = self.bytes.get(self.at)
                    && (byte.is_ascii_digit() || b"+-.eE".contains(byte))
                {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]);
                text.ok()?.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = &self.bytes[self.at..];
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn text(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    text.push(match escaped {
                        b'n' => b'\n',
                        b't' => b'\t',
                        b'r' => b'\r',
                        b'u' => {
                            self.at += 4;
                            b'?'
                        }
                        other => other,
                    });
                }
                _ => text.push(byte),
            }
        }
    }
}

const DIGITS: &[u8; 64] =
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = 0_u32;
        for index in 0..3 {
            let byte = chunk.get(index).copied().unwrap_or(0);
            word = word << 8 | u32::from(byte);
        }
        for index in 0..4 {
            if chunk.len() < index {
                text.push('=');
            } else {
                let digit = word >> (18 - 6 * index) & 63;
                text.push(DIGITS[digit as usize] as char);
            }
        }
    }
    text
}

pub fn decode_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for byte in text.bytes() {
        let Some(digit) = DIGITS.iter().position(|known| *known == byte)
        else {
            continue;
        };
        word = word << 6 | digit as u32;
        bits += 6;
        if 8 <= bits {
            bits -= 8;
            bytes.push((word >> bits) as u8);
            word &= (1 << bits) - 1;
        }
    }
    bytes
}

//! Bytes of the wire: big-endian fields in and out.

/// Reads fields off a record; every read past the end is an error.
pub struct Reader<'a> {
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    pub fn new(bytes: &'a [u8]) -> Self {
        Reader { rest: bytes }
    }

    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }

    pub fn bytes(&mut self, n: usize) -> Result<&'a [u8], String> {
        if n > self.rest.len() {
            return Err(format!("record cut short: {n} bytes wanted, {} left", self.rest.len()));
        }
        let (head, tail) = self.rest.split_at(n);
        self.rest = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        Ok(self.bytes(N)?.try_into().expect("`bytes` gives the length asked for"))
    }

    pub fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }

    pub fn u16(&mut self) -> Result<u16, String> {
        self.array().map(u16::from_be_bytes)
    }

    pub fn u32(&mut self) -> Result<u32, String> {
        self.array().map(u32::from_be_bytes)
    }

    pub fn u64(&mut self) -> Result<u64, String> {
        self.array().map(u64::from_be_bytes)
    }

    pub fn f32(&mut self) -> Result<f32, String> {
        self.array().map(f32::from_be_bytes)
    }

    pub fn f64(&mut self) -> Result<f64, String> {
        self.array().map(f64::from_be_bytes)
    }

    /// Four bytes of address and a port, as one number.
    pub fn server(&mut self) -> Result<u64, String> {
        Ok(u64::from(self.u32()?) << 16 | u64::from(self.u16()?))
    }
}

/// Collects the records of a reply.
#[derive(Default)]
pub struct Writer {
    body: Vec<u8>,
    count: u32,
}

impl Writer {
    /// Begins a record of this code; its fields follow.
    pub fn record(&mut self, code: u16) -> &mut Self {
        self.count += 1;
        self.put(&code.to_be_bytes())
    }

    pub fn put(&mut self, bytes: &[u8]) -> &mut Self {
        self.body.extend_from_slice(bytes);
        self
    }

    pub fn server(&mut self, id: u64) -> &mut Self {
        self.put(&id.to_be_bytes()[2..])
    }

    /// A u16 length and that many bytes; what is longer is cut.
    pub fn counted(&mut self, bytes: &[u8]) -> &mut Self {
        let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
        self.put(&(bytes.len() as u16).to_be_bytes()).put(bytes)
    }

    /// Moves the frame into `frame` and starts afresh.
    pub fn finish(&mut self, frame: &mut Vec<u8>) {
        frame.clear();
        frame.extend_from_slice(&(self.body.len() as u32).to_be_bytes());
        frame.extend_from_slice(&self.count.to_be_bytes());
        frame.append(&mut self.body);
        self.count = 0;
    }
}
